mod announcer;
mod fleet;
mod orders;
mod peer_versions;
mod plan_replica;
mod roster;
mod spread;
mod watch_pacing;
