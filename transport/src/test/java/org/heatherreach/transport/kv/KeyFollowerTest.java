package org.heatherreach.transport.kv;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import net.jqwik.api.Example;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class KeyFollowerTest {
    private static final long AWAIT_SECONDS = 20;

    private final List<String> received = new CopyOnWriteArrayList<>();
    private final CountDownLatch last = new CountDownLatch(1);

    // Guards against a listener that fails on one entry and thereby ends the watch, so that later changes are never
    // seen.
    @Example
    void followsFurtherChangesAfterTheListenerFailed() throws InterruptedException {
        follow(Flux.just(put("odd"), put("last")).concatWith(Flux.never()));
        assertThat(last.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(received).contains("last");
    }

    // Guards against an error in the client of the store that ends the watch for good.
    @Example
    void readsAgainAfterTheWatchFailed() throws InterruptedException {
        AtomicInteger watches = new AtomicInteger();
        follow(Flux.defer(() -> watches.getAndIncrement() == 0
                ? Flux.error(new IllegalStateException("unreadable response"))
                : Flux.just(put("last")).concatWith(Flux.never())));
        assertThat(last.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(received).contains("failed");
    }

    private void follow(Flux<Either<KeyValueError, WatchEvent>> watch) {
        KeyValueStore store = new DelegatingStore(null) {
            @Override
            public Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly) {
                return Mono.just(Either.right(new RangeResult(1, List.of())));
            }

            @Override
            public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision) {
                return watch;
            }
        };
        new KeyFollower(store, KeyRange.ALL, new Random(5), new FailingListener()).start();
    }

    private static Either<KeyValueError, WatchEvent> put(String key) {
        return Either.right(new WatchEvent.Put(new KeyValue(key, new byte[0], 1, 2, 0, 0)));
    }

    /** Fails on the full read and on the key "odd". */
    private final class FailingListener implements KeyFollower.Listener {
        @Override
        public void replace(RangeResult all) {
            throw new IllegalStateException("the full read can't be applied");
        }

        @Override
        public void put(KeyValue entry) {
            if ("odd".equals(entry.key())) {
                throw new IllegalStateException("the entry can't be applied");
            }
            received.add(entry.key());
            last.countDown();
        }

        @Override
        public void deleted(String key, long revision) {}

        @Override
        public void storeFailed(KeyValueError error) {
            received.add("failed");
        }
    }
}
