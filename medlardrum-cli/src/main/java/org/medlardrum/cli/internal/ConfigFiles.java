package org.medlardrum.cli.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.google.gson.JsonObject;
import org.medlardrum.state.config.ConfigDocuments;
import org.medlardrum.state.config.ConfigFault;
import org.medlardrum.state.config.ConfigMerge;
import org.medlardrum.state.config.ConfigParser;

/**
 * Base document and overlays read from files. The name of an overlay file without
 * {@code .json} is the site, an availability zone, that the overlay applies to.
 *
 * @param base the base document, {@code null} when no file was given or it could not be
 * read
 * @param overlays overlays by site
 * @param faults faults found in the files
 */
record ConfigFiles(JsonObject base, Map<String, JsonObject> overlays, List<ConfigFault> faults) {

	private static final String JSON_SUFFIX = ".json";

	static ConfigFiles read(String baseFile, List<String> overlayPaths) {
		List<ConfigFault> faults = new ArrayList<>();
		JsonObject base = !baseFile.isEmpty() ? parse(Path.of(baseFile), ConfigMerge.BASE, faults) : null;
		Map<String, JsonObject> overlays = new TreeMap<>();
		for (Path file : listOverlayFiles(baseFile, overlayPaths, faults)) {
			String name = file.getFileName().toString();
			String site = name.endsWith(JSON_SUFFIX) ? name.substring(0, name.length() - JSON_SUFFIX.length()) : name;
			String document = ConfigMerge.OVERLAY_PREFIX + site;
			JsonObject overlay = parse(file, document, faults);
			if (overlay != null && overlays.put(site, overlay) != null) {
				faults.add(new ConfigFault(document, "two files have this name", ""));
			}
		}
		return new ConfigFiles(base, overlays, faults);
	}

	/**
	 * Puts the files over documents: documents that no file was given for stay as they
	 * are.
	 * @param documents the documents
	 * @return documents of version 0, since files have no version
	 */
	ConfigDocuments over(ConfigDocuments documents) {
		Map<String, JsonObject> allOverlays = new TreeMap<>(documents.overlays());
		allOverlays.putAll(this.overlays);
		return ConfigMerge.documents(0, (this.base != null) ? this.base : documents.base(), allOverlays);
	}

	private static List<Path> listOverlayFiles(String baseFile, List<String> paths, List<ConfigFault> faults) {
		List<Path> files = new ArrayList<>();
		for (String pathText : paths) {
			Path path = Path.of(pathText);
			if (!Files.isDirectory(path)) {
				files.add(path);
				continue;
			}
			// The directory may contain the base file too, which is not an overlay.
			Path base = Path.of(baseFile).toAbsolutePath().normalize();
			try (Stream<Path> children = Files.list(path)) {
				children.filter((file) -> file.toString().endsWith(JSON_SUFFIX))
					.filter((file) -> !file.toAbsolutePath().normalize().equals(base))
					.sorted()
					.forEach(files::add);
			}
			catch (IOException | UncheckedIOException ex) {
				faults.add(new ConfigFault(pathText, "the directory cannot be read: " + ex.getMessage(), ""));
			}
		}
		return files;
	}

	private static JsonObject parse(Path file, String document, List<ConfigFault> faults) {
		try {
			List<ConfigFault> documentFaults = new ArrayList<>();
			JsonObject json = ConfigParser.parseDocument(Files.readString(file), documentFaults).orElse(null);
			documentFaults.forEach((fault) -> faults.add(new ConfigFault(document + ":" + fault.path(),
					fault.message() + " (file " + file + ")", fault.acceptedValues())));
			return json;
		}
		catch (IOException ex) {
			faults.add(new ConfigFault(document, "file " + file + " cannot be read: " + ex, ""));
			return null;
		}
	}

}
