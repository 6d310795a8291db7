package org.heatherreach.state.store;

/**
 * A revision of the key-value service together with the era to which it belongs. The era rises each time the service comes
 * back from an older copy of its data; it then gives out revisions of the previous era again, for other changes.
 * Immutable and safe for use by any thread.
 *
 * <p>Revisions are ordered by era first, so a revision of a later era is newer whatever its number is.
 *
 * @param era the era; 0 for a service that has none
 * @param revision the number of the revision within the era
 */
public record StoreRevision(long era, long revision) implements Comparable<StoreRevision> {
    /** The revision before any change. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    /** Returns a revision of era 0, to which all revisions of a service without eras belong. */
    public static StoreRevision of(long revision) {
        return revision == 0 ? NONE : new StoreRevision(0, revision);
    }

    /** Returns the next revision of the same era. */
    public StoreRevision next() {
        return new StoreRevision(era, revision + 1);
    }

    /** Returns whether this revision is newer than another one. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns whether this revision belongs to a later era than another one. */
    public boolean isOfLaterEraThan(StoreRevision other) {
        return era > other.era;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return era != other.era ? Long.compare(era, other.era) : Long.compare(revision, other.revision);
    }

    // Written out, because the generated methods link method handles at the start of each daemon.
    @Override
    public boolean equals(Object other) {
        return other instanceof StoreRevision that && era == that.era && revision == that.revision;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(revision);
    }

    /** Returns the revision as it appears in the log; that of era 0 is the bare number. */
    @Override
    public String toString() {
        return era == 0 ? Long.toString(revision) : era + ":" + revision;
    }
}
