package grebehoist.benchmarks.slopes;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Draws the points of a slope as SVG: a panel for each figure, both axes logarithmic, the better of both fits as a line, the target as a dashed one. */
final class Plot {
    private static final int WIDTH = 340;
    private static final int HEIGHT = 260;
    private static final int LEFT = 62;
    private static final int TOP = 34;
    private static final int RIGHT = 14;
    private static final int BOTTOM = 40;
    private static final int IN_A_ROW = 3;
    private static final int PIECES = 40;

    private final StringBuilder svg = new StringBuilder();

    private Plot() {}

    /** Returns the document. */
    static String of(Slope slope, Map<String, List<Fit.Point>> figures) {
        var plot = new Plot();
        int rows = (figures.size() + IN_A_ROW - 1) / IN_A_ROW;
        plot.add(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">%n",
                WIDTH * Math.min(IN_A_ROW, figures.size()), HEIGHT * rows);
        plot.add("<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n");
        int i = 0;
        for (Map.Entry<String, List<Fit.Point>> figure : figures.entrySet()) {
            plot.add("<g transform=\"translate(%d,%d)\">%n", i % IN_A_ROW * WIDTH, i / IN_A_ROW * HEIGHT);
            plot.panel(slope, figure.getKey(), figure.getValue());
            plot.add("</g>%n");
            i++;
        }
        plot.add("</svg>%n");
        return plot.svg.toString();
    }

    private void panel(Slope slope, String figure, List<Fit.Point> points) {
        Fit fit = Fit.of(points);
        double least = points.stream().mapToDouble(Fit.Point::x).min().orElse(1);
        double most = Math.max(
                slope.target(), points.stream().mapToDouble(Fit.Point::x).max().orElse(1));
        double low = points.stream()
                .mapToDouble(Fit.Point::y)
                .filter(y -> y > 0)
                .min()
                .orElse(1);
        double high = points.stream().mapToDouble(Fit.Point::y).max().orElse(1);
        Line fixed = Line.of(points);
        boolean straight =
                fixed != null && fixed.fixed() > 0 && fixed.each() > 0 && fixed.deviation() < fit.deviation();
        DoubleUnaryOperator curve = fit == null ? null : straight ? fixed::at : fit::at;
        if (curve != null) {
            low = Math.min(low, Math.min(curve.applyAsDouble(least), curve.applyAsDouble(most)));
            high = Math.max(high, Math.max(curve.applyAsDouble(least), curve.applyAsDouble(most)));
        }
        var x = new Axis(least, most, LEFT, WIDTH - RIGHT);
        var y = new Axis(low, high, HEIGHT - BOTTOM, TOP);
        add("<text x=\"%d\" y=\"16\" font-weight=\"bold\">%s: %s</text>%n", LEFT, text(slope.name()), text(figure));
        if (curve != null) {
            add(
                    "<text x=\"%d\" y=\"28\" fill=\"#555\">%s, farthest off %.0f%%</text>%n",
                    LEFT,
                    straight
                            ? String.format(Locale.ROOT, "%.3g + %.3g n", fixed.fixed(), fixed.each())
                            : String.format(Locale.ROOT, "%.3g n^%.2f", fit.a(), fit.exponent()),
                    100 * (straight ? fixed.deviation() : fit.deviation()));
            String way = IntStream.rangeClosed(0, PIECES)
                    .mapToDouble(i -> least * Math.pow(most / least, i / (double) PIECES))
                    .mapToObj(n -> String.format(Locale.ROOT, "%.1f,%.1f", x.at(n), y.at(curve.applyAsDouble(n))))
                    .collect(Collectors.joining(" "));
            add("<polyline points=\"%s\" fill=\"none\" stroke=\"#2a6\"/>%n", way);
        }
        line(LEFT, HEIGHT - BOTTOM, WIDTH - RIGHT, HEIGHT - BOTTOM, "stroke=\"black\"");
        line(LEFT, TOP, LEFT, HEIGHT - BOTTOM, "stroke=\"black\"");
        line(
                x.at(slope.target()),
                TOP,
                x.at(slope.target()),
                HEIGHT - BOTTOM,
                "stroke=\"#c33\" stroke-dasharray=\"4 3\"");
        for (double tick : x.ticks()) {
            add(
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>%n",
                    x.at(tick), HEIGHT - BOTTOM + 14, label(tick));
            line(x.at(tick), HEIGHT - BOTTOM, x.at(tick), HEIGHT - BOTTOM + 4, "stroke=\"black\"");
        }
        for (double tick : y.ticks()) {
            add("<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>%n", LEFT - 7, y.at(tick) + 4, label(tick));
            line(LEFT - 4, y.at(tick), LEFT, y.at(tick), "stroke=\"black\"");
        }
        add(
                "<text x=\"%d\" y=\"%d\" text-anchor=\"end\" fill=\"#555\">%s</text>%n",
                WIDTH - RIGHT, HEIGHT - 8, text(slope.of()));
        for (Fit.Point p : points) {
            if (p.y() > 0) {
                add("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"#236\"/>%n", x.at(p.x()), y.at(p.y()));
            }
        }
    }

    /** Logarithmic, from a place to another. */
    private record Axis(double least, double most, double from, double to) {
        private Axis {
            // A single value has a decade to stand in.
            double room = most / least < 1.5 ? 3 : 1;
            least /= room;
            most *= room;
        }

        double at(double value) {
            return from + (to - from) * Math.log(value / least) / Math.log(most / least);
        }

        /** Returns powers of ten, or one, two and five times them where there are few. */
        List<Double> ticks() {
            List<Double> steps = Math.log10(most / least) < 2 ? List.of(1.0, 2.0, 5.0) : List.of(1.0);
            return IntStream.rangeClosed((int) Math.floor(Math.log10(least)), (int) Math.ceil(Math.log10(most)))
                    .boxed()
                    .flatMap(e -> steps.stream().map(s -> s * Math.pow(10, e)))
                    .filter(t -> t >= least * 0.999 && t <= most * 1.001)
                    .toList();
        }
    }

    private static String label(double value) {
        if (value >= 1e6) {
            return String.format(Locale.ROOT, "%.0fM", value / 1e6);
        }
        return value >= 1e3
                ? String.format(Locale.ROOT, "%.0fk", value / 1e3)
                : String.format(Locale.ROOT, value >= 1 ? "%.0f" : "%.2g", value);
    }

    private static String text(String any) {
        return any.replace("&", "&amp;").replace("<", "&lt;");
    }

    private void line(double x1, double y1, double x2, double y2, String style) {
        add("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" %s/>%n", x1, y1, x2, y2, style);
    }

    private void add(String format, Object... values) {
        svg.append(String.format(Locale.ROOT, format, values));
    }
}
