package org.heatherreach.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import org.heatherreach.state.outcome.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

// Guards against metrics and refusal reasons that the operators' page does not document.
class OperatorsPageTest {
    private static final Pattern METER = Pattern.compile("\"(heatherreach\\.[a-z]+\\.?[a-z.]*)\"");

    private final String page = read(Path.of("../docs/operators.md"));

    @Example
    void namesEveryCounter() throws IOException {
        Set<String> meters = new TreeSet<>();
        for (Path file : sources()) {
            Matcher names = METER.matcher(read(file));
            while (names.find()) {
                meters.add(names.group(1));
            }
        }
        assertThat(meters).hasSizeGreaterThan(40).allMatch(name -> page.contains('`' + name + '`'));
    }

    @Example
    void namesEveryRefusalReason() {
        assertThat(RefusalReason.values()).allMatch(reason -> page.contains('`' + reason.label() + '`'));
    }

    private static List<Path> sources() throws IOException {
        List<Path> files = new ArrayList<>();
        for (String module : List.of("../daemon", "../transport")) {
            try (Stream<Path> found = Files.walk(Path.of(module, "src/main/java"))) {
                found.filter(file -> file.toString().endsWith(".java")).forEach(files::add);
            }
        }
        return files;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
