//! Names test cases.

/// Declares one test a line: `name: expression;`.
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
