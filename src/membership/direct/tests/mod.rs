mod ledger;
mod roster;
mod rumour;
