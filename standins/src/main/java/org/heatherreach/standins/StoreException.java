package org.heatherreach.standins;

/** A request that the key-value stand-in refuses, with the gRPC code and HTTP status of the etcd gateway. */
final class StoreException extends RuntimeException {
    private static final int INVALID_ARGUMENT = 3;
    private static final int NOT_FOUND = 5;
    private static final int RESOURCE_EXHAUSTED = 8;
    private static final int OUT_OF_RANGE = 11;
    private static final int UNAVAILABLE = 14;

    private final int code;
    private final int status;

    private StoreException(int code, int status, String message) {
        super(message);
        this.code = code;
        this.status = status;
    }

    static StoreException invalid(String message) {
        return new StoreException(INVALID_ARGUMENT, 400, message);
    }

    static StoreException leaseNotFound() {
        return new StoreException(NOT_FOUND, 404, "etcdserver: requested lease not found");
    }

    static StoreException tooManyRequests() {
        return new StoreException(RESOURCE_EXHAUSTED, 429, "etcdserver: too many requests");
    }

    static StoreException tooLarge() {
        return new StoreException(INVALID_ARGUMENT, 400, "etcdserver: request is too large");
    }

    static StoreException futureRevision() {
        return new StoreException(OUT_OF_RANGE, 400, "etcdserver: mvcc: required revision is a future revision");
    }

    static StoreException unavailable() {
        return new StoreException(UNAVAILABLE, 503, "etcdserver: no leader");
    }

    int status() {
        return status;
    }

    String body() {
        return Json.write(
                Json.object().put("error", getMessage()).put("code", code).put("message", getMessage()));
    }
}
