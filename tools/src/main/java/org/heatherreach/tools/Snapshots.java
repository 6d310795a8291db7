package org.heatherreach.tools;

import io.vavr.control.Option;
import org.heatherreach.transport.kv.TableSnapshot;
import org.heatherreach.transport.kv.TableVersion;

/** Reads versions of the table from the store. Stateless. */
final class Snapshots {
    private Snapshots() {}

    /** Reads a version of the history, or the newest version if the number is 0. */
    static TableSnapshot read(StoreOptions store, ToolContext context, long version) {
        if (version == 0) {
            Option<TableSnapshot> newest = store.withStore(context, tables -> tables.read());
            return newest.getOrElseThrow(() -> new ToolException(ExitCode.NOT_FOUND, "the store holds no table yet"));
        }
        Option<TableVersion> entry = Option.ofOptional(store.withStore(context, tables -> tables.history()).stream()
                .filter(candidate -> candidate.version() == version)
                .findFirst());
        TableVersion found = entry.getOrElseThrow(() -> new ToolException(
                ExitCode.NOT_FOUND, "version " + version + " is not in the history; see heatherreach history"));
        return store.withStore(context, tables -> tables.read(found));
    }
}
