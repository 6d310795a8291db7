package org.heatherreach.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Objects;

/**
 * The file that keeps the data of a key-value stand-in when its process ends. It is replaced as a whole, so a process
 * that is killed while it writes leaves the file before. Safe for use by any thread.
 */
final class StoreSnapshot {
    private final Path file;

    StoreSnapshot(Path file) {
        this.file = Objects.requireNonNull(file, "file");
    }

    /** Restores the state from the file if there is one. Fails if the file can't be read. */
    synchronized void load(KeyValueState state, long nowNanos) {
        try {
            if (Files.exists(file)) {
                state.restore(Json.read(Files.readString(file)), nowNanos);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes the newest state. Fails if the file can't be written. */
    synchronized void save(KeyValueState state) {
        Path written = file.resolveSibling(file.getFileName() + ".new");
        try {
            Files.write(written, Json.write(state.snapshot()).getBytes(StandardCharsets.UTF_8));
            Files.move(written, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
