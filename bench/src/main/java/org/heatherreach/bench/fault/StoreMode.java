package org.heatherreach.bench.fault;

/** How the store behaves. */
enum StoreMode {
    NORMAL,
    OUTAGE,
    SLOW,
    ANSWER_LOST
}
