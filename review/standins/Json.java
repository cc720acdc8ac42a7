import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: maps, lists, strings, numbers, booleans. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		Object value = json.value();
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (text.isBlank()) ? Map.of() : (Map<String, Object>) parse(text);
	}

	private void space() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	private Object value() {
		space();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			space();
			while (this.text.charAt(this.at) != '}') {
				space();
				String key = string();
				space();
				this.at++;
				map.put(key, value());
				space();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					space();
				}
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			space();
			while (this.text.charAt(this.at) != ']') {
				list.add(value());
				space();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
				}
				space();
			}
			this.at++;
			return list;
		}
		if (c == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.matches("-?\\d+")) ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
		};
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				c = this.text.charAt(this.at++);
				switch (c) {
					case 'n' -> out.append('\n');
					case 't' -> out.append('\t');
					case 'r' -> out.append('\r');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> out.append(c);
				}
			}
			else {
				out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

	static String quote(String text) {
		StringBuilder out = new StringBuilder("\"");
		for (char c : text.toCharArray()) {
			if (c == '"' || c == '\\') {
				out.append('\\').append(c);
			}
			else if (c < ' ') {
				out.append(String.format("\\u%04x", (int) c));
			}
			else {
				out.append(c);
			}
		}
		return out.append('"').toString();
	}

}
