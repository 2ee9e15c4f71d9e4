mod api_keys;
mod lookup;
