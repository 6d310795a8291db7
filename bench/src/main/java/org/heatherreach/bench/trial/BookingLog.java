package org.heatherreach.bench.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What callers were told about the keyed requests of a trial, to be compared with what the backend servers ran.
 * Safe for use by any thread.
 */
public final class BookingLog {
    private final Map<String, TrialAnswer.Kind> answers = new HashMap<>();

    /** Sets the last answer to a key. */
    public synchronized void record(String key, TrialAnswer.Kind answer) {
        answers.put(key, answer);
    }

    /** Returns the number of keys. */
    public synchronized int size() {
        return answers.size();
    }

    /** Returns the number of keys with a last answer of this kind. */
    public synchronized long count(TrialAnswer.Kind kind) {
        return answers.values().stream().filter(kind::equals).count();
    }

    /**
     * Returns every broken promise: a key that ran twice, and a key that ran although its caller was told "not run" or
     * that did not run although its caller got an answer.
     *
     * @param runsOfServers the counts of runs by key, one object for each server
     */
    public synchronized List<String> findBrokenPromises(List<JsonNode> runsOfServers) {
        Map<String, Integer> runs = new HashMap<>();
        for (JsonNode server : runsOfServers) {
            for (Map.Entry<String, JsonNode> entry : server.properties()) {
                runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum);
            }
        }
        List<String> broken = new ArrayList<>();
        runs.forEach((key, count) -> {
            if (count > 1) {
                broken.add("key " + key + " ran " + count + " times");
            }
        });
        answers.forEach((key, answer) -> {
            boolean ran = runs.containsKey(key);
            if (answer == TrialAnswer.Kind.NOT_RUN && ran) {
                broken.add("key " + key + " ran although its caller was told not-run");
            } else if (answer == TrialAnswer.Kind.RIGHT && !ran) {
                broken.add("key " + key + " was answered but ran on no server");
            }
        });
        return broken;
    }
}
