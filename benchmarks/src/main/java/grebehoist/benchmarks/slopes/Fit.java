package grebehoist.benchmarks.slopes;

import java.util.List;

/**
 * A power law {@code y = a x^exponent} by least squares of the logarithms.
 *
 * @param deviation by what part a measured value lies farthest off: 0.1 is a tenth above, or as much below
 * @param points so many values were above zero and counted
 */
record Fit(double a, double exponent, double deviation, int points) {
    /** A measured value. */
    record Point(double x, double y) {}

    /** Returns the fit, or null where fewer than two different sizes have a value above zero. */
    static Fit of(List<Point> all) {
        List<Point> points = all.stream().filter(p -> p.x() > 0 && p.y() > 0).toList();
        if (points.stream().mapToDouble(Point::x).distinct().count() < 2) {
            return null;
        }
        double meanX =
                points.stream().mapToDouble(p -> Math.log(p.x())).average().orElseThrow();
        double meanY =
                points.stream().mapToDouble(p -> Math.log(p.y())).average().orElseThrow();
        double xy = 0;
        double xx = 0;
        for (Point p : points) {
            xy += (Math.log(p.x()) - meanX) * (Math.log(p.y()) - meanY);
            xx += (Math.log(p.x()) - meanX) * (Math.log(p.x()) - meanX);
        }
        double exponent = xy / xx;
        double a = Math.exp(meanY - exponent * meanX);
        double worst = points.stream()
                .mapToDouble(p -> Math.abs(Math.log(p.y() / (a * Math.pow(p.x(), exponent)))))
                .max()
                .orElseThrow();
        return new Fit(a, exponent, Math.exp(worst) - 1, points.size());
    }

    /** Returns what the fit says of a size. */
    double at(double x) {
        return a * Math.pow(x, exponent);
    }
}
