package org.heatherreach.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the heap that a value retains. Stateless; concurrent allocation by other threads disturbs the result. */
final class HeapUse {
    private static final int COLLECTIONS = 4;

    private HeapUse() {}

    static long bytesOf(Supplier<?> factory) {
        long before = usedBytes();
        Object value = factory.get();
        long after = usedBytes();
        Reference.reachabilityFence(value);
        return after - before;
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
