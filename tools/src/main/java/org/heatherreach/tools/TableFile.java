package org.heatherreach.tools;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.table.Table;
import org.heatherreach.state.table.TableCsv;
import org.heatherreach.state.table.TableProblem;

/**
 * Reads and writes a CSV file with a table, and next to it the file {@code NAME.base} with the version that was
 * exported. The base lets the apply command detect that another operator changed the table in between. Stateless.
 */
final class TableFile {
    private static final String VERSION_PREFIX = "version ";

    private TableFile() {}

    static Either<List<TableProblem>, Table> read(String name) {
        return TableCsv.read(readBytes(Path.of(name)));
    }

    /** Reads a table; ends the command if the table breaks a rule. */
    static Table readValid(String name) {
        return read(name)
                .getOrElseThrow(problems -> new ToolException(
                        ExitCode.DIFFERENT,
                        name + " breaks " + problems.size() + " rules, the first: " + problems.get(0)));
    }

    static void write(String name, Table table) {
        write(Path.of(name), TableCsv.write(table));
    }

    static void writeBase(String name, long version, Table table) {
        write(basePath(name), VERSION_PREFIX + version + "\n" + TableCsv.write(table));
    }

    /** Reads the base of a file; empty if the file has none, because it was not exported by the tool. */
    static Option<Base> readBase(String name) {
        Path path = basePath(name);
        if (!Files.exists(path)) {
            return Option.none();
        }
        String text = new String(readBytes(path), StandardCharsets.UTF_8);
        int lineEnd = text.indexOf('\n');
        String versionLine = lineEnd < 0 ? "" : text.substring(0, lineEnd).trim();
        if (!versionLine.matches(VERSION_PREFIX + "[0-9]{1,18}")) {
            throw new ToolException(ExitCode.USAGE, path + " must start with a line \"version N\"");
        }
        return Option.some(new Base(
                Long.parseLong(versionLine.substring(VERSION_PREFIX.length())),
                TableCsv.read(text.substring(lineEnd + 1)).toOption()));
    }

    private static Path basePath(String name) {
        return Path.of(name + ".base");
    }

    private static byte[] readBytes(Path path) {
        try {
            return Files.readAllBytes(path);
        } catch (IOException e) {
            throw new ToolException(ExitCode.USAGE, "cannot read " + path);
        }
    }

    private static void write(Path path, String text) {
        try {
            Files.writeString(path, text);
        } catch (IOException e) {
            throw new ToolException(ExitCode.USAGE, "cannot write " + path);
        }
    }

    /**
     * The base of a file.
     *
     * @param version the version of the table that was exported to the file
     * @param table the exported table; empty if it can't be read
     */
    record Base(long version, Option<Table> table) {}
}
