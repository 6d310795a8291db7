package org.heatherreach.state.table;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * The CSV form of the table. Writing is canonical: equal tables give equal bytes. Reading accepts what spreadsheets
 * save: a byte order mark, Windows line ends, commas, semicolons or tabs as separators, columns in any order, missing
 * columns, spaces around values and blank lines. Stateless.
 */
public final class TableCsv {
    private static final char BYTE_ORDER_MARK = '\uFEFF';
    private static final CSVFormat OUTPUT =
            CSVFormat.RFC4180.builder().setRecordSeparator('\n').get();

    private TableCsv() {}

    /** Returns the canonical text of a table, header included. */
    public static String write(Table table) {
        StringBuilder text = new StringBuilder(header());
        table.rows().forEach(row -> text.append(line(row)));
        return text.toString();
    }

    /** Returns the canonical text of a table as UTF-8. */
    public static byte[] toBytes(Table table) {
        return write(table).getBytes(StandardCharsets.UTF_8);
    }

    /** Reads UTF-8 text and returns the table, or all problems found. */
    public static Either<List<TableProblem>, Table> read(byte[] utf8) {
        try {
            return read(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(utf8))
                    .toString());
        } catch (CharacterCodingException e) {
            return Either.left(List.of(new TableProblem("line 1", "row", "", "must be UTF-8 text")));
        }
    }

    /** Reads text and returns the table, or all problems found. */
    public static Either<List<TableProblem>, Table> read(String text) {
        List<TableProblem> problems = new ArrayList<>();
        List<TableRow> rows = readRows(text, problems);
        Either<List<TableProblem>, Table> table = Table.of(rows);
        if (problems.isEmpty()) {
            return table;
        }
        if (table.isLeft()) {
            problems.addAll(table.getLeft());
        }
        return Either.left(problems);
    }

    static String header() {
        List<String> labels = new ArrayList<>();
        for (TableColumn column : TableColumn.values()) {
            labels.add(column.label());
        }
        return OUTPUT.format(labels.toArray()) + "\n";
    }

    static String line(TableRow row) {
        List<String> cells = new ArrayList<>();
        for (TableColumn column : TableColumn.values()) {
            cells.add(row.cell(column));
        }
        return OUTPUT.format(cells.toArray()) + "\n";
    }

    private static List<TableRow> readRows(String text, List<TableProblem> problems) {
        String body = !text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK ? text.substring(1) : text;
        CSVFormat format = CSVFormat.RFC4180
                .builder()
                .setDelimiter(delimiter(body))
                .setIgnoreEmptyLines(true)
                .setTrim(true)
                .get();
        List<TableRow> rows = new ArrayList<>();
        try (CSVParser parser = CSVParser.parse(new StringReader(body), format)) {
            List<TableColumn> columns = null;
            for (CSVRecord line : parser) {
                if (isBlank(line)) {
                    continue;
                }
                if (columns == null) {
                    columns = readHeader(line, problems);
                } else {
                    readLine(line, columns, rows, problems);
                }
            }
            if (columns == null) {
                problems.add(new TableProblem("line 1", "row", "", "must be a header that starts with row"));
            }
        } catch (IOException | UncheckedIOException e) {
            // The parser throws these for unterminated quotes.
            problems.add(new TableProblem("line " + (rows.size() + 2), "row", "", "must be CSV: " + e.getMessage()));
        }
        return rows;
    }

    private static List<TableColumn> readHeader(CSVRecord line, List<TableProblem> problems) {
        List<TableColumn> columns = new ArrayList<>();
        Set<TableColumn> seen = EnumSet.noneOf(TableColumn.class);
        for (String label : line) {
            TableColumn column = TableColumn.find(label).orElse(null);
            columns.add(column);
            if (column == null && !label.isEmpty()) {
                problems.add(new TableProblem("line 1", label, label, "must be one of the columns " + header().trim()));
            } else if (column != null && !seen.add(column)) {
                problems.add(new TableProblem("line 1", label, label, "must be the only column of this name"));
            }
        }
        if (!seen.contains(TableColumn.ROW)) {
            problems.add(new TableProblem("line 1", "row", "", "must be present"));
        }
        return columns;
    }

    private static void readLine(
            CSVRecord line, List<TableColumn> columns, List<TableRow> rows, List<TableProblem> problems) {
        String name = "";
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        for (int i = 0; i < line.size(); i++) {
            TableColumn column = i < columns.size() ? columns.get(i) : null;
            if (column == TableColumn.ROW) {
                name = line.get(i);
            } else if (column != null) {
                cells.put(column, line.get(i));
            } else if (!line.get(i).isEmpty() && i >= columns.size()) {
                problems.add(new TableProblem(
                        "line " + line.getRecordNumber(),
                        "column " + (i + 1),
                        line.get(i),
                        "must have a column in the header"));
            }
        }
        if (name.isEmpty()) {
            problems.add(new TableProblem("line " + line.getRecordNumber(), "row", "", "must not be empty"));
        } else {
            rows.add(new TableRow(name, cells));
        }
    }

    private static boolean isBlank(CSVRecord line) {
        for (String value : line) {
            if (!value.isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the separator that occurs most often in the header. */
    private static char delimiter(String text) {
        int end = text.indexOf('\n');
        String header = end < 0 ? text : text.substring(0, end);
        char best = ',';
        long bestCount = count(header, best);
        for (char candidate : new char[] {';', '\t'}) {
            if (count(header, candidate) > bestCount) {
                best = candidate;
                bestCount = count(header, candidate);
            }
        }
        return best;
    }

    private static long count(String text, char wanted) {
        return text.chars().filter(c -> c == wanted).count();
    }
}
