package org.heatherreach.bench.fault;

/** One daemon of a world with its decision logic. Confined to the thread of the world. */
interface FaultNode {
    /** Makes the decision objects of a new process. */
    void start();

    /** Called every 100 ms while the daemon runs. */
    void tick();
}
