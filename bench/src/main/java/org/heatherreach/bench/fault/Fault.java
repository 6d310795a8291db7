package org.heatherreach.bench.fault;

import java.util.Locale;

import org.heatherreach.state.rank.Rank;

/**
 * The rows of the fault matrix. A fault begins at a step, concerns a victim or the whole world, and ends after a drawn
 * time. Immutable and safe for use by any thread.
 */
public enum Fault {
    /** The control: the same scenario without a fault. */
    NONE("no fault (control)"),
    /** The process ends and does not return. */
    KILL("daemon killed") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.kill(victim);
        }
    },
    /** The process stops and continues later; what arrives meanwhile waits in its buffers. */
    PAUSE("daemon paused") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.pause(victim);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.resume(victim);
        }
    },
    /** Nothing reaches the daemon. */
    CUT_INBOUND("link to the daemon cut") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.cut(victim, true, false);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.heal(victim, true, false);
        }
    },
    /** Nothing that the daemon sends arrives. */
    CUT_OUTBOUND("link from the daemon cut") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.cut(victim, false, true);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.heal(victim, false, true);
        }
    },
    /** The daemon is cut off in both directions. */
    CUT_BOTH("both directions cut") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.cut(victim, true, true);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.heal(victim, true, true);
        }
    },
    /** Messages take up to 1.2 s longer, which passes the time-outs of the intents and of the pings. */
    DELAY("messages delayed") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.disturbLinks(1_200, 0, 0);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.disturbLinks(-1_200, 0, 0);
        }
    },
    /** Half of the messages are lost. */
    LOSS("messages lost") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.disturbLinks(0, 0.5, 0);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.disturbLinks(0, -0.5, 0);
        }
    },
    /** Half of the messages arrive a second time, up to a second later. */
    DUPLICATE("messages duplicated") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.disturbLinks(0, 0, 0.5);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.disturbLinks(0, 0, -0.5);
        }
    },
    /** Messages overtake each other by up to 60 ms. */
    REORDER("messages reordered") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.disturbLinks(60, 0, 0);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.disturbLinks(-60, 0, 0);
        }
    },
    /** The store refuses every call. */
    STORE_OUTAGE("store unavailable") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.changeStore(StoreMode.OUTAGE);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.changeStore(StoreMode.NORMAL);
        }
    },
    /** Calls of the store take effect after their callers gave up, and reads return late. */
    STORE_SLOW("store slow") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.changeStore(StoreMode.SLOW);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.changeStore(StoreMode.NORMAL);
        }
    },
    /** Writes take effect and their answers are lost. */
    STORE_ANSWER_LOST("store answer lost after the write") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.changeStore(StoreMode.ANSWER_LOST);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.changeStore(StoreMode.NORMAL);
        }
    },
    /** A holder is paused until just after its lease or activity deadline has passed. */
    LEASE_LAPSE("lease lapses during a pause") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.lapse(victim);
        }
    },
    /** The list of VMs stays as it was while a VM is replaced. */
    VM_LIST_LAG("VM list late") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.delayVmList(victim);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.updateVmList(victim);
        }
    },
    /** A second operator applies another change at the same time. */
    TWO_OPERATORS("two operators") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.startSecondOperator();
        }
    },
    /** The process is replaced by a new one at the same address. */
    DAEMON_REPLACED("daemon replaced") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.kill(victim);
            world.start(victim);
        }
    },
    /** All daemons of a zone end; new ones start when the fault ends. */
    ZONE_GONE("zone gone") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.zoneOf(victim).forEach(world::kill);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.zoneOf(victim).forEach(world::start);
        }
    },
    /** The request ends the server that runs it. */
    CRASHING_REQUEST("request crashes servers") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.crashServers(true);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.crashServers(false);
        }
    },
    /** Urgent requests flood in. */
    FLOOD_URGENT("flood of urgent requests") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.flood(Rank.URGENT, true);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.flood(Rank.URGENT, false);
        }
    },
    /** Standard requests flood in. */
    FLOOD_STANDARD("flood of standard requests") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.flood(Rank.STANDARD, true);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.flood(Rank.STANDARD, false);
        }
    },
    /** Bulk requests flood in. */
    FLOOD_BULK("flood of bulk requests") {
        @Override
        void begin(FaultWorld world, int victim) {
            world.flood(Rank.BULK, true);
        }

        @Override
        void end(FaultWorld world, int victim) {
            world.flood(Rank.BULK, false);
        }
    };

    private final String label;

    Fault(String label) {
        this.label = label;
    }

    /** Returns the name in the matrix. */
    public String label() {
        return label;
    }

    void begin(FaultWorld world, int victim) {
        // The control does nothing.
    }

    void end(FaultWorld world, int victim) {
        // Some faults end by themselves or last.
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
