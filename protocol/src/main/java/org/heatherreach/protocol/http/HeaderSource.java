package org.heatherreach.protocol.http;

import java.util.List;

/** Looks up the values of a header by its name, ignoring case. */
@FunctionalInterface
public interface HeaderSource {
    /** Returns all values of the header in the order in which they were received; empty if it is absent. */
    List<String> values(String name);
}
