package org.heatherreach.daemon;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * The sections of a settings file and all errors found in them. Environment variables may set further values: one that is
 * not empty, such as {@code HEATHERREACH_SETTING_WORKSPACES_QUOTA_WINDOW}, replaces the value of the key, here
 * {@code quota-window} of the section {@code workspaces}.
 *
 * <p>Confined to one thread.
 */
public final class IniSections {
    private static final String VARIABLE_PREFIX = "HEATHERREACH_SETTING_";

    private final String file;
    private final List<SettingsError> errors = new ArrayList<>();
    private final Map<String, SectionReader> sections = new LinkedHashMap<>();
    private final Set<String> requestedSections = new HashSet<>();

    private IniSections(String file) {
        this.file = file;
    }

    /** Reads a file; the left value is the reason why it can't be read as an INI file. */
    public static Either<List<SettingsError>, IniSections> read(Path path) {
        return read(path, Map.of());
    }

    /**
     * Reads a file and the values that environment variables set.
     *
     * @param environment the environment variables; those without the prefix are ignored
     */
    public static Either<List<SettingsError>, IniSections> read(Path path, Map<String, String> environment) {
        Objects.requireNonNull(path, "path");
        IniSections sections = new IniSections(path.toString());
        try {
            sections.load(path, valuesOf(environment));
        } catch (IOException | ConfigurationException e) {
            return Either.left(List.of(
                    new SettingsError(path.toString(), "", "", "cannot be read: " + e.getMessage(), "an INI file")));
        }
        return Either.right(sections);
    }

    /** Returns the names of the sections in the file, and of those that were requested without being in the file. */
    public List<String> names() {
        return List.copyOf(sections.keySet());
    }

    /** Returns whether the file has a section; also true if the section was requested before. */
    public boolean has(String name) {
        return sections.containsKey(name);
    }

    /** Returns a section, which is empty if the file doesn't have it. */
    public SectionReader section(String name) {
        requestedSections.add(name);
        return sections.computeIfAbsent(name, key -> new SectionReader(file, key, Map.of(), errors));
    }

    /**
     * Adds an error for each section and key of the file that was not requested.
     *
     * @param openPrefix the prefix of sections that are named by the user; blank if there are none
     */
    public void reportUnread(String openPrefix) {
        boolean hasOpenPrefix = !openPrefix.isBlank();
        sections.forEach((name, section) -> {
            if (requestedSections.contains(name)) {
                section.reportUnread();
            } else {
                List<String> expected = requestedSections.stream()
                        .filter(known -> !hasOpenPrefix || !known.startsWith(openPrefix))
                        .sorted()
                        .toList();
                errors.add(new SettingsError(
                        file,
                        name,
                        "",
                        "unknown section",
                        "one of " + String.join(", ", expected) + (hasOpenPrefix ? ", " + openPrefix + "NAME" : "")));
            }
        });
    }

    /** Returns the settings, or all errors if there are any. */
    public <T> Either<List<SettingsError>, T> toResult(T settings) {
        return errors.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(errors));
    }

    /** Returns the values that environment variables set, by section and key. */
    private static Map<String, Map<String, String>> valuesOf(Map<String, String> environment) {
        Map<String, Map<String, String>> values = new LinkedHashMap<>();
        environment.forEach((name, value) -> {
            if (name.startsWith(VARIABLE_PREFIX) && !value.isEmpty()) {
                String[] words = name.substring(VARIABLE_PREFIX.length())
                        .toLowerCase(Locale.ROOT)
                        .split("_", 2);
                values.computeIfAbsent(words[0], section -> new LinkedHashMap<>())
                        .put(words.length > 1 ? words[1].replace('_', '-') : "", value);
            }
        });
        return values;
    }

    private void load(Path path, Map<String, Map<String, String>> further) throws IOException, ConfigurationException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader text = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            ini.read(text);
        }
        Map<String, Map<String, List<String>>> valuesBySection = new LinkedHashMap<>();
        for (String name : ini.getSections()) {
            SubnodeConfiguration section = ini.getSection(name);
            Map<String, List<String>> values =
                    valuesBySection.computeIfAbsent(name == null ? "" : name, key -> new LinkedHashMap<>());
            // Keys are taken from the nodes, because the configuration API reads a dot in a key as a path separator.
            for (ImmutableNode node : section.getNodeModel().getNodeHandler().getRootNode()) {
                values.computeIfAbsent(node.getNodeName(), key -> new ArrayList<>())
                        .add(String.valueOf(node.getValue()));
            }
        }
        further.forEach((name, values) -> {
            Map<String, List<String>> all = valuesBySection.computeIfAbsent(name, key -> new LinkedHashMap<>());
            values.forEach((key, value) -> all.put(key, List.of(value)));
        });
        valuesBySection.forEach((name, values) -> sections.put(name, new SectionReader(file, name, values, errors)));
    }
}
