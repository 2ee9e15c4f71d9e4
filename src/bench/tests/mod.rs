mod promises;
mod traffic;
