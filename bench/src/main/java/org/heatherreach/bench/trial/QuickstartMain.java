package org.heatherreach.bench.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import org.heatherreach.state.rank.Rank;

/**
 * Entry point of {@code quickstart}: runs a whole site on loopback as separate processes, sends work of all ranks while
 * one backend server turns gray and one daemon is stopped, and prints the outcome. Exits with 0 only if no answer was
 * wrong and no request in flight was cut off. Confined to the main thread.
 */
public final class QuickstartMain {
    private static final int SENDERS_PER_RANK = 3;
    private static final int PHASE_MILLIS = 4000;
    private static final int STOP_MILLIS = 25_000;
    private static final int SERVICE_MILLIS = 5;
    private static final int BOOKING_BYTES = 300;
    private static final int BOOKING_SENDS = 4;
    private static final String ORDERS = "benchdesk";
    private static final String LIBRARY = "patternhall";

    private final TrialFleet fleet;
    private final TrialResult result = new TrialResult();
    private final BookingLog bookings = new BookingLog();
    private final List<Thread> senders = new ArrayList<>();
    private final AtomicReference<IOException> failure = new AtomicReference<>();
    private volatile boolean sending = true;

    private QuickstartMain(TrialFleet fleet) {
        this.fleet = fleet;
    }

    /** Runs the trial. */
    public static void main(String[] args) throws IOException {
        Path directory = Files.createTempDirectory("heatherreach-quickstart");
        boolean right;
        try (TrialFleet fleet = new TrialFleet(directory)) {
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "trial-cleanup"));
            right = new QuickstartMain(fleet).run();
        } catch (IOException e) {
            System.err.println("quickstart: " + e.getMessage());
            right = false;
        }
        System.out.println("logs: " + directory);
        System.exit(right ? 0 : 1);
    }

    private boolean run() throws IOException {
        System.out.println("Starting the configuration store, 7 backend servers and 3 daemons on 127.0.0.1");
        fleet.startStore();
        fleet.startBackends(ORDERS, 4, 3, 330);
        fleet.startBackends(LIBRARY, 3, 3, 330);
        fleet.startDaemons(3, 3);
        System.out.println("Applying a sample table with the operators' tool");
        fleet.applyTable(3, 330);
        TrialCaller caller = new TrialCaller(
                fleet.daemons().stream().map(TrialFleet.Daemon::address).toList());
        startSenders(caller);
        System.out.println("Sending urgent and standard work to " + ORDERS + " and bulk work to " + LIBRARY);
        sleep(PHASE_MILLIS);
        TrialFleet.Backend gray = fleet.backends(ORDERS).get(0);
        System.out.println("Backend server " + gray.name() + " turns gray: 30 % errors, ten times slower");
        caller.post(
                "127.0.0.1:" + gray.adminPort(), "/faults", "{\"slowShare\":1.0,\"slowFactor\":10,\"errorShare\":0.3}");
        sleep(PHASE_MILLIS);
        TrialFleet.Daemon stopped = fleet.daemons().get(2);
        System.out.println("Daemon " + stopped.name() + " is stopped with SIGTERM");
        boolean ended = stopped.process().terminate(STOP_MILLIS);
        sleep(PHASE_MILLIS / 2);
        sending = false;
        joinSenders();
        System.out.print(result.summary());
        return report(ended, bookings.findBrokenPromises(runsOfServers(caller)));
    }

    private boolean report(boolean ended, List<String> brokenPromises) throws IOException {
        if (failure.get() != null) {
            throw failure.get();
        }
        boolean allRight = result.count(TrialAnswer.Kind.WRONG) == 0 && result.count(TrialAnswer.Kind.BROKEN) == 0;
        boolean served = brokenPromises.isEmpty() && bookings.count(TrialAnswer.Kind.RIGHT) > 0;
        for (Rank rank : Rank.values()) {
            served &= result.count(rank, TrialAnswer.Kind.RIGHT) > 0;
        }
        System.out.printf(
                "bookings  %d keys: %d answered, %d server errors, %d not-run, %d unknown or broken%n",
                bookings.size(),
                bookings.count(TrialAnswer.Kind.RIGHT),
                bookings.count(TrialAnswer.Kind.BACKEND_ERROR),
                bookings.count(TrialAnswer.Kind.NOT_RUN),
                bookings.count(TrialAnswer.Kind.UNKNOWN) + bookings.count(TrialAnswer.Kind.BROKEN));
        brokenPromises.forEach(System.out::println);
        System.out.println(ended ? "The stopped daemon ended in order." : "The stopped daemon did not end in time.");
        System.out.println(
                allRight && served
                        ? "Every answer was right and no request in flight was cut off."
                        : "FAILED: an answer was wrong, a request was cut off, a promise was broken or a rank was not served.");
        return allRight && served && ended;
    }

    private void startSenders(TrialCaller caller) {
        for (Rank rank : Rank.values()) {
            String service = rank == Rank.BULK ? LIBRARY : ORDERS;
            int sizeBytes = rank == Rank.BULK ? 200_000 : 500;
            for (int i = 0; i < SENDERS_PER_RANK; i++) {
                Thread sender = new Thread(() -> send(caller, service, rank, sizeBytes), "caller-" + rank + '-' + i);
                senders.add(sender);
                sender.start();
            }
        }
        Thread booker = new Thread(() -> book(caller), "caller-bookings");
        senders.add(booker);
        booker.start();
    }

    private void book(TrialCaller caller) {
        while (sending) {
            try {
                book(caller, caller.issueKey());
            } catch (IOException e) {
                // The daemon that was asked for a key may be the one that stops; the next one is asked then.
                sleep(SERVICE_MILLIS);
            }
            sleep(SERVICE_MILLIS);
        }
    }

    private void book(TrialCaller caller, String key) throws IOException {
        TrialRequest request = new TrialRequest(
                caller.nextNumber(), ORDERS, Rank.URGENT, BOOKING_BYTES, SERVICE_MILLIS, Optional.of(key));
        for (int i = 0; i < BOOKING_SENDS; i++) {
            TrialAnswer.Kind kind = caller.send(request).kind();
            bookings.record(key, kind);
            if (kind == TrialAnswer.Kind.RIGHT || kind == TrialAnswer.Kind.WRONG) {
                return;
            }
            sleep(SERVICE_MILLIS);
        }
    }

    private void send(TrialCaller caller, String service, Rank rank, int sizeBytes) {
        while (sending) {
            try {
                result.add(
                        rank,
                        caller.send(new TrialRequest(
                                caller.nextNumber(), service, rank, sizeBytes, SERVICE_MILLIS, Optional.empty())));
            } catch (IOException e) {
                failure.compareAndSet(null, e);
                return;
            }
            sleep(2);
        }
    }

    private List<JsonNode> runsOfServers(TrialCaller caller) throws IOException {
        List<JsonNode> runs = new ArrayList<>();
        for (TrialFleet.Backend backend : fleet.backends(ORDERS)) {
            runs.add(caller.get("127.0.0.1:" + backend.adminPort(), "/runs"));
        }
        return runs;
    }

    private void joinSenders() {
        for (Thread sender : senders) {
            try {
                sender.join(TimeUnit.SECONDS.toMillis(15));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
