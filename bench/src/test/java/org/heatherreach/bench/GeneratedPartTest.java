package org.heatherreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class GeneratedPartTest {
    // Guards against a generator that overwrites the hand-written text of a page, or silently replaces nothing.
    @Example
    void replacesOnlyWhatIsBetweenTheMarkers() throws IOException, BenchException {
        Path page = Files.createTempFile("page", ".md");
        String begin = "before\n<!-- begin of generated a.md -->\n";
        String end = "<!-- end of generated a.md -->\nafter\n";
        Files.writeString(page, begin + "old\n" + end);
        new GeneratedPart(page).replace(Map.of("a.md", "new\n", "b.md", "other\n"));
        assertThat(page).hasContent(begin + "new\n" + end);
        assertThatThrownBy(() -> new GeneratedPart(page).replace(Map.of("b.md", "other\n")))
                .isInstanceOf(BenchException.class);
    }
}
