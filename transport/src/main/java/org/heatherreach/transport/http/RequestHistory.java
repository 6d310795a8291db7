package org.heatherreach.transport.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;

/**
 * A ring buffer of the requests that ended last at this daemon, from which operators look up single requests. A new
 * entry replaces the oldest one. Adding takes no lock; finding reads every entry, which is cheap enough for the few
 * lookups of operators.
 *
 * <p>Memory: an entry takes about 0.4 KB with one attempt, and 1.5 KB if its id, service and workspace have the maximum
 * length of 128 characters and all 10 attempts were made. So {@link #STANDARD_ENTRIES} take 1.5 MB, at most 6 MB, of
 * the 256 MB that a daemon may use.
 *
 * <p>Safe for use by any thread.
 */
public final class RequestHistory {
    /** At the target of 136 requests/s per daemon this covers the last 30 s. */
    public static final int STANDARD_ENTRIES = 4096;

    private final AtomicReferenceArray<EndedRequest> entries;
    private final AtomicLong added = new AtomicLong();
    private final Consumer<EndedRequest> listener;

    /**
     * Creates an empty history without a listener.
     *
     * @param capacity how many requests are kept
     * @throws IllegalArgumentException if the capacity is not positive
     */
    public RequestHistory(int capacity) {
        this(capacity, request -> {});
    }

    /**
     * Creates an empty history.
     *
     * @param capacity how many requests are kept
     * @param listener called with each request that is added; must not block
     * @throws IllegalArgumentException if the capacity is not positive
     */
    public RequestHistory(int capacity, Consumer<EndedRequest> listener) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be at least 1");
        }
        entries = new AtomicReferenceArray<>(capacity);
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns the maximum number of requests that are kept. */
    public int capacity() {
        return entries.length();
    }

    /** Adds a request that has ended. */
    public void add(EndedRequest request) {
        Objects.requireNonNull(request, "request");
        entries.set((int) (added.getAndIncrement() % entries.length()), request);
        listener.accept(request);
    }

    /** Returns the requests with an id, newest first; there may be several because callers can reuse their own ids. */
    public List<EndedRequest> find(String id) {
        List<EndedRequest> found = new ArrayList<>();
        long newest = added.get() - 1;
        for (long index = newest; index >= 0 && index > newest - entries.length(); index--) {
            EndedRequest entry = entries.get((int) (index % entries.length()));
            // The element of an entry that is currently being added may still be null.
            if (entry != null && entry.request().value().equals(id)) {
                found.add(entry);
            }
        }
        return found;
    }
}
