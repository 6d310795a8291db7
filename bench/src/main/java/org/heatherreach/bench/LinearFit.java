package org.heatherreach.bench;

/**
 * A least-squares line through measured points. Immutable and safe for use by any thread.
 *
 * @param slope the growth of the value for each unit of size
 * @param intercept the value at size zero
 * @param slopeError the standard error of the slope
 */
public record LinearFit(double slope, double intercept, double slopeError) {
    /**
     * Fits a line.
     *
     * @throws IllegalArgumentException if there are fewer than three points, the arrays differ in length, or all sizes
     *     are equal
     */
    public static LinearFit of(double[] sizes, double[] values) {
        int count = sizes.length;
        if (count < 3 || values.length != count) {
            throw new IllegalArgumentException("a fit needs at least three points with a size and a value each");
        }
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double sizeSquares = 0;
        double products = 0;
        for (int i = 0; i < count; i++) {
            sizeSquares += (sizes[i] - meanSize) * (sizes[i] - meanSize);
            products += (sizes[i] - meanSize) * (values[i] - meanValue);
        }
        if (sizeSquares == 0) {
            throw new IllegalArgumentException("a fit needs at least two different sizes");
        }
        double slope = products / sizeSquares;
        double intercept = meanValue - slope * meanSize;
        double residualSquares = 0;
        for (int i = 0; i < count; i++) {
            double residual = values[i] - intercept - slope * sizes[i];
            residualSquares += residual * residual;
        }
        return new LinearFit(slope, intercept, Math.sqrt(residualSquares / (count - 2) / sizeSquares));
    }

    /** Returns the value that the line gives for a size. */
    public double valueAt(double size) {
        return intercept + slope * size;
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
