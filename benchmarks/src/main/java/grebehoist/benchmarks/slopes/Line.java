package grebehoist.benchmarks.slopes;

import java.util.List;

/**
 * A fixed part and so much for each, {@code y = fixed + each x}, by least squares of the relative errors: where there is a fixed part, no power
 * law fits.
 *
 * @param deviation by what part of a measured value the line lies farthest off it
 */
record Line(double fixed, double each, double deviation) {
    /** Returns the line, or null where fewer than two different sizes have a value above zero. */
    static Line of(List<Fit.Point> all) {
        List<Fit.Point> points = all.stream().filter(p -> p.y() > 0).toList();
        if (points.stream().mapToDouble(Fit.Point::x).distinct().count() < 2) {
            return null;
        }
        double weights = 0;
        double meanX = 0;
        double meanY = 0;
        for (Fit.Point p : points) {
            double weight = 1 / (p.y() * p.y());
            weights += weight;
            meanX += weight * p.x();
            meanY += weight * p.y();
        }
        meanX /= weights;
        meanY /= weights;
        double xy = 0;
        double xx = 0;
        for (Fit.Point p : points) {
            double weight = 1 / (p.y() * p.y());
            xy += weight * (p.x() - meanX) * (p.y() - meanY);
            xx += weight * (p.x() - meanX) * (p.x() - meanX);
        }
        double each = xy / xx;
        double fixed = meanY - each * meanX;
        return new Line(
                fixed,
                each,
                points.stream()
                        .mapToDouble(p -> Math.abs(fixed + each * p.x() - p.y()) / p.y())
                        .max()
                        .orElseThrow());
    }

    /** Returns what the line says of a size. */
    double at(double x) {
        return fixed + each * x;
    }
}
