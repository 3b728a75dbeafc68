//! The configuration of a small deployment, with the figures of `hehuan-maps`.

pub const HOST: &str = "maps.example";
pub const KEY: &str = "key-of-the-resort";

fn route(prefix: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"service\":\"map-core\",\
         \"public\":false,{more}}}"
    )
}

/// One service, with a route of each kind, and one tenant.
pub fn document() -> String {
    document_with(7, &format!("{{\"name\":\"resort\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}"))
}

/// The same under a version, with these tenants.
pub fn document_with(version: u64, tenants: &str) -> String {
    let once = "\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\
                \"max_attempts\":1";
    let stream = "\"route_type\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":1,\
                  \"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":120";
    let plain =
        "\"route_type\":\"idempotent\",\"timeout_ms\":8000,\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":2";
    let jobs = "\"route_type\":\"non_idempotent\",\"timeout_ms\":8000,\"target_latency_ms\":300,\"priority\":2,\
                \"max_attempts\":1";
    let two_engines = "\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\
                       \"max_attempts\":2";
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{},{},{}],\"services\":[{{\"name\":\"map-core\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{tenants}]}}",
        route("/once/", once),
        route("/stream/", stream),
        route("/plain/", plain),
        route("/jobs/", jobs),
        route("/two/", two_engines)
    )
}

/// The record that an engine keeps in the store.
pub fn engine_record(addr: &str, slots: usize, born_ms: u128) -> String {
    format!(
        "{{\"service\":\"map-core\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":{born_ms}}}"
    )
}

/// A client's request on a channel of its own.
pub fn request(path: &str, id: &str, deadline_ms: u64) -> String {
    request_with_key(path, id, deadline_ms, Some(KEY))
}

/// The same with another key, or none.
pub fn request_with_key(path: &str, id: &str, deadline_ms: u64, key: Option<&str>) -> String {
    let key = key.map_or_else(String::new, |key| format!("Api-Key: {key}\r\n"));
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         {key}Content-Length: 5\r\nConnection: close\r\n\r\nhello"
    )
}
