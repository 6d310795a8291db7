package org.heatherreach.daemon.site;

/** The names on the wire by which daemons fetch the routing table from each other. */
final class TableEndpoint {
    static final String PATH = "/heatherreach/table";
    static final String VERSION_HEADER = "Heatherreach-Table-Version";

    private TableEndpoint() {}
}
