package org.heatherreach.tools;

/** How results are printed. */
enum Format {
    /** Lines for people. */
    TEXT,
    /** One JSON document for programs. */
    JSON
}
