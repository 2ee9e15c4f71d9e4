mod announcer;
mod ledger;
mod orders;
mod roster;
mod rumour;
mod spacing;
