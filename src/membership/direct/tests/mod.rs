mod announcer;
mod orders;
mod peer_versions;
mod plan_replica;
mod roster;
mod watch_pacing;
