package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ReferenceCountUtil;
import org.heatherreach.state.outcome.RefusalReason;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * Reads a body into a buffer as long as the memory budget allows it, and passes the rest on as it arrives otherwise.
 *
 * <p>Invariants: bytes are charged before they are requested; the order of the bytes is kept. The body is read to its
 * end even if its request is refused in the meantime: with a partly consumed body the HTTP server would wait for the
 * rest, or reset the connection before the response is written. What arrives by then is dropped.
 *
 * <p>Signals arrive on the event loop of the caller's connection; {@link #discardRest} may be called by any thread.
 */
final class BodyIntake extends BaseSubscriber<ByteBuf> {
    /** How much is charged at a time. */
    private static final int STEP_BYTES = 64 * 1024;
    /** The largest part that one read returns. */
    private static final int MAX_PART_BYTES = 16 * 1024;

    private enum State {
        BUFFERING,
        STREAMING,
        DISCARDING
    }

    private final MemoryCharge memory;
    private final long lengthBytes;
    private final boolean requiresBuffer;
    private final SegmentedBuffer buffer = new SegmentedBuffer();
    private final Sinks.Many<ByteBuf> rest = Sinks.many().unicast().onBackpressureBuffer();
    private long chargedBytes;
    private MonoSink<RequestBody> result;
    private volatile State state = State.BUFFERING;

    /**
     * Creates an intake.
     *
     * @param lengthBytes the length of the body, or -1 if it is unknown
     * @param requiresBuffer whether the request is refused if its body can't be buffered
     */
    BodyIntake(MemoryCharge memory, long lengthBytes, boolean requiresBuffer) {
        this.memory = Objects.requireNonNull(memory, "memory");
        this.lengthBytes = lengthBytes;
        this.requiresBuffer = requiresBuffer;
    }

    /** Charges the first bytes; returns whether buffering can begin. */
    boolean reserve() {
        return chargeNextStep();
    }

    /** Reads the body; the result is a {@link RequestRefusal} if it neither fits nor may be streamed. */
    Mono<RequestBody> read(Flux<ByteBuf> source) {
        return Mono.create(sink -> {
            result = sink;
            sink.onCancel(this::discardRest);
            source.subscribe(this);
        });
    }

    /** Drops what is still to arrive, since the request has ended. */
    void discardRest() {
        state = State.DISCARDING;
        request(Long.MAX_VALUE);
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
        requestNext();
    }

    @Override
    protected void hookOnNext(ByteBuf part) {
        switch (state) {
            case BUFFERING -> {
                buffer.append(part);
                requestNext();
            }
            case STREAMING -> {
                if (rest.tryEmitNext(part.retain()).isFailure()) {
                    part.release();
                }
            }
            default -> buffer.clear();
        }
    }

    @Override
    protected void hookOnComplete() {
        if (state == State.BUFFERING) {
            byte[] bytes = buffer.toBytes();
            // The exchange keeps this intake until its end, so the body would be held twice.
            buffer.clear();
            result.success(RequestBody.retained(bytes));
        }
        rest.tryEmitComplete();
    }

    @Override
    protected void hookOnError(Throwable error) {
        if (state == State.BUFFERING) {
            result.error(error);
        }
        rest.tryEmitError(error);
    }

    private void requestNext() {
        if (state != State.BUFFERING || hasRoom() || chargeNextStep()) {
            request(1);
        } else if (requiresBuffer || !memory.tryAdd(MemoryCharge.STREAM_BYTES)) {
            buffer.clear();
            discardRest();
            result.error(new RequestRefusal(RefusalReason.MEMORY_LIMIT));
        } else {
            state = State.STREAMING;
            rest.tryEmitNext(Unpooled.wrappedBuffer(buffer.toBytes()));
            buffer.clear();
            result.success(RequestBody.streamed(
                    rest.asFlux()
                            .doOnRequest(this::request)
                            .doOnCancel(this::discardRest)
                            .doOnDiscard(ByteBuf.class, ReferenceCountUtil::safeRelease),
                    lengthBytes));
        }
    }

    private boolean hasRoom() {
        return chargedBytes - buffer.sizeBytes() >= MAX_PART_BYTES || chargedBytes == lengthBytes;
    }

    private boolean chargeNextStep() {
        long stepBytes = lengthBytes < 0 ? STEP_BYTES : Math.min(STEP_BYTES, lengthBytes - chargedBytes);
        boolean fits = memory.tryAddBuffer(stepBytes);
        chargedBytes += fits ? stepBytes : 0;
        return fits;
    }
}
