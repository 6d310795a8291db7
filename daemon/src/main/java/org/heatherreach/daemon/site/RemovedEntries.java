package org.heatherreach.daemon.site;

import java.util.LinkedHashMap;
import java.util.Map;

import org.heatherreach.state.store.StoreRevision;

/**
 * The entries that were removed from the store or replaced by those of another incarnation, to tell which entries of a
 * later era are from the copy that the store came back from.
 *
 * <p>Such an entry is in a full read of a later era, and its number is not above that of the removal, because the copy is
 * older than a removal that it does not have. An entry that is written in the later era can have such a number too if the
 * number was given out again; it counts as one of the copy until it is written once more.
 *
 * <p>Invariant: within the era of its removal no entry counts as restored. At most {@link #LIMIT} removals are kept, the
 * latest ones. Confined to one thread, or guarded by the caller.
 */
final class RemovedEntries {
    /** More than the servers of the target size, all of which may be replaced between the copy and its restoration. */
    private static final int LIMIT = 10_000;

    private final Map<Id, Removal> removals = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Id, Removal> eldest) {
            return size() > LIMIT;
        }
    };

    private record Id(String key, long incarnation) {}

    /**
     * A removal.
     *
     * @param era the era in which the entry was removed
     * @param number the largest revision number, of any era, that the entry or its removal had
     * @param leaving whether the owner had announced that it was leaving
     * @param restored the revision at which the entry is listed again because of the copy; none before it was read
     */
    private record Removal(long era, long number, boolean leaving, StoreRevision restored) {}

    /**
     * Records a removal.
     *
     * @param lastKnown the revision of the entry
     * @param removal the revision of the removal
     * @param leaving whether the owner had announced that it was leaving
     */
    void record(String key, long incarnation, StoreRevision lastKnown, StoreRevision removal, boolean leaving) {
        Id id = new Id(key, incarnation);
        Removal earlier = removals.remove(id);
        long number = Math.max(lastKnown.revision(), removal.revision());
        removals.put(
                id,
                new Removal(
                        Math.max(lastKnown.era(), removal.era()),
                        earlier == null ? number : Math.max(number, earlier.number),
                        leaving || (earlier != null && earlier.leaving),
                        StoreRevision.NONE));
    }

    /** Returns whether an entry of a full read was removed before and is listed only because the copy still had it. */
    boolean isRestored(String key, long incarnation, StoreRevision read) {
        Id id = new Id(key, incarnation);
        Removal removal = removals.get(id);
        if (removal == null || read.era() <= removal.era) {
            return false;
        }
        if (removal.leaving) {
            return true;
        }
        boolean writtenAgain = removal.restored.era() == read.era() && !removal.restored.equals(read);
        if (read.revision() > removal.number || writtenAgain) {
            return false;
        }
        removals.put(id, new Removal(removal.era, removal.number, false, read));
        return true;
    }

    /** Returns whether the owner of an entry had announced, in an earlier era, that it was leaving. */
    boolean hasLeft(String key, long incarnation, StoreRevision written) {
        Removal removal = removals.get(new Id(key, incarnation));
        return removal != null && removal.leaving && written.era() > removal.era;
    }

    /** Forgets a removal because the entry was written again. */
    void forget(String key, long incarnation) {
        removals.remove(new Id(key, incarnation));
    }
}
