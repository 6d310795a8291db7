package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of cells as lines of text with aligned columns. Stateless. */
final class TextTable {
    private TextTable() {}

    static List<String> format(List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                if (i == widths.size()) {
                    widths.add(0);
                }
                widths.set(i, Math.max(widths.get(i), row.get(i).length()));
            }
        }
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i))
                        .append(" ".repeat(widths.get(i) - row.get(i).length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }
}
