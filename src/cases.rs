//! Macro for tables of named tests.

/// Declares one test per entry: `name: expression;`.
macro_rules! cases {
    ($($name:ident: $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}
