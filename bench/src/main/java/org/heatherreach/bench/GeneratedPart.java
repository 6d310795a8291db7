package org.heatherreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * The part of a Markdown page between two marker comments, which name the generated file. Immutable and safe for use by
 * any thread.
 */
final class GeneratedPart {
    private static final String BEGIN = "<!-- begin of generated ";
    private static final String END = "<!-- end of generated ";
    private static final String CLOSE = " -->";

    private final Path page;

    GeneratedPart(Path page) {
        this.page = page;
    }

    /**
     * Replaces what is between the markers of each file that has markers in the page.
     *
     * @throws BenchException if the page can't be read or written, or has the markers of none of the files
     */
    void replace(Map<String, String> files) throws BenchException {
        try {
            String before = Files.readString(page);
            String text = before;
            boolean found = false;
            for (Map.Entry<String, String> file : files.entrySet()) {
                String begin = BEGIN + file.getKey() + CLOSE + "\n";
                int from = text.indexOf(begin);
                int to = text.indexOf(END + file.getKey() + CLOSE);
                if (from >= 0 && to > from) {
                    found = true;
                    text = text.substring(0, from + begin.length()) + file.getValue() + text.substring(to);
                }
            }
            if (!found) {
                throw new BenchException(page + " has no markers of " + files.keySet());
            }
            Files.writeString(page, text);
        } catch (IOException e) {
            throw new BenchException("cannot replace the generated part of " + page, e);
        }
    }
}
