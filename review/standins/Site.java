/** The operator's configuration of the small site that the scripts use. */
final class Site {
    static final String SERVICE = "benchdesk";
    static final String CONFIG = "{\"version\":\"00000007\",\"limits\":{\"header_bytes\":16384,"
            + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"listeners\":[{"
            + "\"host\":\"" + Caller.HOST + "\",\"rule_set\":["
            + route("r-1", "non_idempotent", "800ms", 1, "/order/", "2500ms") + ","
            + route("r-2", "idempotent", "800ms", 1, "/stock/", "2000ms") + ","
            + route("r-3", "idempotent", "5000ms", 2, "/peek/", "8000ms") + ","
            + route("r-5", "non_idempotent", "5000ms", 2, "/document/", "8000ms") + ","
            + route("r-4", "non_idempotent", "5000ms", 2, "/upload/", "12000ms")
            + "]}],\"clusters\":[{\"name\":\"" + SERVICE
            + "\",\"health_path\":\"/health\",\"max_conns\":330,\"protocol\":\"h1\",\"tls\":false}]}";

    private Site() {}

    private static String route(String name, String kind, String target, int priority, String prefix, String timeout) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"target_latency\":\"" + target + "\",\"priority\":"
                + priority + ",\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + SERVICE
                + "\",\"timeout\":\"" + timeout + "\",\"max_attempts\":2}}";
    }
}
