mod announcer;
mod ledger;
mod roster;
mod rumour;
mod spacing;
