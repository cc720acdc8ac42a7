package org.medlardrum.state;

/**
 * A half-open range of model layers.
 *
 * @param fromLayer first layer, inclusive
 * @param toLayer last layer, exclusive
 */
public record LayerRange(int fromLayer, int toLayer) {

	public LayerRange {
		if (fromLayer < 0 || toLayer <= fromLayer) {
			throw new IllegalArgumentException("Layer range [" + fromLayer + ", " + toLayer + ") is empty or negative");
		}
	}

	/**
	 * Returns the number of layers in the range.
	 * @return the number of layers
	 */
	public int length() {
		return this.toLayer - this.fromLayer;
	}

	/**
	 * Returns whether the other range lies within this one.
	 * @param other range to test
	 * @return {@code true} if each layer of the other range is in this one
	 */
	public boolean contains(LayerRange other) {
		return other.fromLayer >= this.fromLayer && other.toLayer <= this.toLayer;
	}

}
