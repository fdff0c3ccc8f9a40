"""Draws the slopes of scripts/capacity as SVG files: one file for each slope, one panel for each value."""

from xml.sax.saxutils import escape

PANEL_WIDTH = 250
PANEL_HEIGHT = 150
COLUMNS = 3
MARGIN_LEFT = 58
MARGIN_TOP = 30
MARGIN_RIGHT = 14
MARGIN_BOTTOM = 34


def short(value):
    """Formats a number with three digits and a suffix for its size."""
    for limit, suffix in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
        if abs(value) >= limit:
            return f"{value / limit:.3g}{suffix}"
    return f"{value:.3g}"


def panel(name, x_name, points, left, top):
    """Returns the SVG of one chart. Both axes start at 0, so that a constant value is a horizontal line and a
    proportional one goes through the corner."""
    x_max = max(x for x, _ in points) or 1
    y_max = max(y for _, y in points) or 1
    width = PANEL_WIDTH - MARGIN_LEFT - MARGIN_RIGHT
    height = PANEL_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM

    def to_coordinates(x, y):
        return left + MARGIN_LEFT + width * x / x_max, top + MARGIN_TOP + height * (1 - max(0, y) / y_max)

    x0, y0 = to_coordinates(0, 0)
    x1, y1 = to_coordinates(x_max, y_max)
    coordinates = [to_coordinates(x, y) for x, y in points]
    parts = [f'<text x="{left + 8}" y="{top + 16}" font-weight="bold">{escape(name.replace("_", " "))}</text>',
             f'<path d="M{x0:.1f},{y1:.1f}V{y0:.1f}H{x1:.1f}" fill="none" stroke="#555"/>',
             f'<text x="{x0 - 4:.1f}" y="{y1 + 4:.1f}" text-anchor="end">{short(y_max)}</text>',
             f'<text x="{x0 - 4:.1f}" y="{y0 + 4:.1f}" text-anchor="end">0</text>',
             f'<text x="{x1:.1f}" y="{y0 + 14:.1f}" text-anchor="end">{short(x_max)}</text>',
             f'<text x="{(x0 + x1) / 2:.1f}" y="{y0 + 14:.1f}" text-anchor="middle">{escape(x_name)}</text>',
             '<polyline fill="none" stroke="#06c" stroke-width="1.5" points="' +
             " ".join(f"{x:.1f},{y:.1f}" for x, y in coordinates) + '"/>']
    parts += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2.5" fill="#06c"/>' for x, y in coordinates]
    return "\n".join(parts)


def draw(slope, points, path):
    """Writes the SVG file of one slope."""
    names = list(points[0]["values"])
    rows = (len(names) + COLUMNS - 1) // COLUMNS
    width, height = COLUMNS * PANEL_WIDTH, rows * PANEL_HEIGHT + 24
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" '
             'font-size="10">', f'<rect width="{width}" height="{height}" fill="white"/>',
             f'<text x="8" y="17" font-size="13">{escape(slope.replace("_", " "))}</text>']
    ordered = sorted(points, key=lambda point: point["x"])
    for number, name in enumerate(names):
        values = [(point["x"], point["values"][name]) for point in ordered]
        parts.append(panel(name, points[0]["x_name"], values, number % COLUMNS * PANEL_WIDTH,
                           24 + number // COLUMNS * PANEL_HEIGHT))
    path.write_text("\n".join(parts + ["</svg>"]) + "\n", encoding="utf-8")


def draw_all(points, directory):
    for slope in dict.fromkeys(point["slope"] for point in points):
        slope_points = [point for point in points if point["slope"] == slope]
        if len(slope_points) > 1:
            draw(slope, slope_points, directory / f"capacity-{slope.replace('_', '-')}.svg")
