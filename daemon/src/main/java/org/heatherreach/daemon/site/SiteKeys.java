package org.heatherreach.daemon.site;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyFollower;
import org.heatherreach.transport.kv.KeyValueError;

/**
 * Dispatches the events of one watch to the listeners of the key prefixes. One shared watch replaces a watch for each
 * prefix, because every call to the store has a price.
 *
 * <p>Invariants: every listener is notified each time the store is up to date or fails, but receives only the keys with
 * its prefix; a listener that fails keeps no event from the others. After a failure no revision is confirmed until every
 * listener has applied a full read.
 *
 * <p>Thread safety: the follower of the store calls the methods sequentially.
 */
final class SiteKeys implements KeyFollower.Listener {
    private final Map<String, KeyFollower.Listener> listenersByPrefix;
    private final StoreView view;
    /** Whether a listener has failed since the last full read that every listener has applied. */
    private boolean incomplete;

    /**
     * Creates a dispatcher.
     *
     * @param listenersByPrefix the listeners; no prefix may be a prefix of another one
     * @param view records the revision up to which the listeners have received every change
     */
    SiteKeys(Map<String, KeyFollower.Listener> listenersByPrefix, StoreView view) {
        this.listenersByPrefix = new LinkedHashMap<>(listenersByPrefix);
        this.view = Objects.requireNonNull(view, "view");
    }

    /**
     * Gives each listener the keys with its prefix.
     *
     * @throws KeyListenerException if a listener failed; the others have received their keys
     */
    @Override
    public void replace(RangeResult all) {
        incomplete = false;
        notifyEach(listenersByPrefix.keySet(), prefix -> {
            List<KeyValue> own = all.values().stream()
                    .filter(value -> value.key().startsWith(prefix))
                    .toList();
            listenersByPrefix.get(prefix).replace(new RangeResult(all.revision(), own));
        });
        view.confirm(all.revision());
    }

    @Override
    public void put(KeyValue entry) {
        notifyEach(
                prefixesOf(entry.key()), prefix -> listenersByPrefix.get(prefix).put(entry));
    }

    @Override
    public void deleted(String key, StoreRevision revision) {
        notifyEach(prefixesOf(key), prefix -> listenersByPrefix.get(prefix).deleted(key, revision));
    }

    /** Notifies each listener, as {@link #replace} does; the revision is confirmed only if no listener lacks a change. */
    @Override
    public void upToDate(StoreRevision revision) {
        view.recordRead(revision);
        notifyEach(
                listenersByPrefix.keySet(),
                prefix -> listenersByPrefix.get(prefix).upToDate(revision));
        if (!incomplete) {
            view.confirm(revision);
        }
    }

    @Override
    public void storeFailed(KeyValueError error) {
        notifyEach(
                listenersByPrefix.keySet(),
                prefix -> listenersByPrefix.get(prefix).storeFailed(error));
    }

    private List<String> prefixesOf(String key) {
        return listenersByPrefix.keySet().stream().filter(key::startsWith).toList();
    }

    private void notifyEach(Collection<String> prefixes, Consumer<String> call) {
        KeyListenerException failure = null;
        for (String prefix : prefixes) {
            try {
                call.accept(prefix);
            } catch (Throwable e) {
                incomplete = true;
                failure = new KeyListenerException(prefix, e, failure);
            }
        }
        if (failure != null) {
            throw failure;
        }
    }
}
