package org.heatherreach.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import net.jqwik.api.Example;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.transport.http.ProxyMode;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsFileTest {
    private static final String MINIMAL = "[daemon]\nname = d1\nzone = z1\n[listen]\naddress = 127.0.0.1:0\n";

    private static Either<List<SettingsError>, DaemonSettings> read(String text) throws IOException {
        Path file = Files.createTempFile("heatherreachd", ".ini");
        try {
            Files.writeString(file, text);
            return SettingsFile.read(file);
        } finally {
            Files.delete(file);
        }
    }

    // Guards against settings that are read from the wrong key or ignored.
    @Example
    void readsAFile() throws IOException {
        DaemonSettings settings = read(MINIMAL
                        + "advertise = 10.0.0.1:80\n[daemon]\nmode = naive\n[service:shop.a]\n"
                        + "servers = s1@127.0.0.1:1/z1, s2@[::1]:2/z2\nslots = 7\nbulk_timeout_ms = 5\n"
                        + "[routes]\n/a.b/c = shop.a\n[log]\nformat = human\n")
                .get();
        assertThat(settings.mode()).isEqualTo(ProxyMode.NAIVE);
        assertThat(settings.logFormat()).isEqualTo(LogFormat.HUMAN);
        assertThat(settings.advertise().getPort()).isEqualTo(80);
        ServiceSettings shop = settings.services().get(new ServiceId("shop.a"));
        assertThat(shop.servers()).hasSize(2);
        assertThat(shop.limits().slots()).isEqualTo(7);
        assertThat(shop.ranks().get(Rank.BULK).timeoutMillis()).isEqualTo(5);
        assertThat(settings.routes()).containsEntry("/a.b/c", new ServiceId("shop.a"));
    }

    // Guards against misspelled keys and invalid values that are silently ignored.
    @Example
    void namesFileSectionKeyAndRangeOfEveryFault() throws IOException {
        List<String> faults = List.of(
                "[daemon]\nnam = d1\n|[daemon] nam: unknown key; expected one of",
                "[limits]\nhead_bytes = 1\n|[limits] head_bytes: the value 1 is out of range; expected a whole number from 1024 to",
                "[limits]\nattempts = two\n|[limits] attempts: \"two\" is not a whole number",
                "[limits]\nattempts = 1\nattempts = 2\n|[limits] attempts: the key is given 2 times",
                "[daemon]\nmode = fast\n|[daemon] mode: \"fast\" is not a valid choice; expected one of fleet, naive",
                "[nonsense]\na = b\n|[nonsense] unknown section",
                "[service:a]\nservers = s1@localhost:1/z1\n|[service:a] servers: \"localhost:1\" is not an address",
                "[service:a]\nslots = 1\n|[service:a] servers: the key is missing",
                "[service:a]\nservers = s1@127.0.0.1:1/z, s1@127.0.0.1:2/z\n|[service:a] servers: \"s1\" is given twice",
                "[routes]\n/x = nobody\n|[routes] /x: \"nobody\" is not a configured service");
        for (String fault : faults) {
            String[] parts = fault.split("\\|");
            List<SettingsError> errors = read(MINIMAL + parts[0]).getLeft();
            assertThat(errors).as(parts[0]).hasSize(1);
            assertThat(errors.get(0).toString()).contains(".ini: " + parts[1]).contains("; expected ");
        }
        assertThat(read("").getLeft()).hasSize(3);
        assertThat(SettingsFile.read(Path.of("/nonexistent.ini")).getLeft()).hasSize(1);
    }
}
