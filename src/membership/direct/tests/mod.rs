mod ledger;
mod roster;
