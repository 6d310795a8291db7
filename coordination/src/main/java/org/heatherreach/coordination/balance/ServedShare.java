package org.heatherreach.coordination.balance;

/**
 * What one daemon decided of late on the requests of a class or workspace.
 *
 * <p>Invariant: the numbers of requests that wait and that run are exact.
 *
 * <p>Confined to one duty thread.
 */
final class ServedShare {
    private final double firstFraction;
    private int served;
    private int refused;
    private int earlierServed;
    private int earlierRefused;
    private int running;
    private int waiting;
    private long passNumber;
    private int listed;
    private int raised;

    /**
     * Creates an entry without requests.
     *
     * @param firstFraction the fraction of a request, from 0 to 1, that is granted before any decision. Unless it differs
     *     between daemons, those with few decisions grant either none or too many
     */
    ServedShare(double firstFraction) {
        this.firstFraction = firstFraction;
    }

    int decided() {
        return served() + refused();
    }

    int served() {
        return served + earlierServed;
    }

    private int refused() {
        return refused + earlierRefused;
    }

    void enter() {
        waiting++;
    }

    void leave() {
        waiting--;
    }

    void dispatch() {
        waiting--;
        running++;
        served++;
    }

    void refuse() {
        waiting--;
        refused++;
    }

    /** Records that a dispatched request ended; one that the server turned away was not served. */
    void end(boolean turnedAway) {
        running--;
        if (turnedAway && served > 0) {
            served--;
            refused++;
        }
    }

    /** Begins an interval and forgets the decisions before the last one. */
    void beginInterval() {
        earlierServed = served;
        earlierRefused = refused;
        served = 0;
        refused = 0;
    }

    /** Returns whether there are neither requests nor decisions of late. */
    boolean isIdle() {
        return running + waiting == 0 && decided() == 0;
    }

    /** Prepares for a computation of the order of the waiting requests. */
    void beginPass(long number) {
        if (passNumber != number) {
            passNumber = number;
            listed = 0;
            raised = 0;
        }
    }

    /** Returns whether one more request has to be raised for the granted part of the requests to be served. */
    boolean isOwed(double grantedPart) {
        return refused() > 0 && served() + raised + 1 <= firstFraction + grantedPart * (decided() + raised + 1);
    }

    void countRaised() {
        raised++;
    }

    /** Returns the slots that were taken of late, and those that the requests ahead in the order will take. */
    int slotsTaken() {
        return served() + listed;
    }

    void countListed() {
        listed++;
    }
}
