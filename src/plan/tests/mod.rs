mod lookup;
