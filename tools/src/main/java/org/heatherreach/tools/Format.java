package org.heatherreach.tools;

/** The output format of results. */
enum Format {
    /** Lines of text for operators. */
    TEXT,
    /** One JSON document for scripts. */
    JSON
}
