//! Macros for the derives and conversions shared by types of one kind.

use quick_error::quick_error;

quick_error! {
    /// A text that does not parse as a value of the expected type.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseError {
        /// The text and a description of the accepted form.
        Expected(text: String, expected: &'static str) {
            display("`{}` is not {}", text, expected)
        }
    }
}

/// Derives for small `Copy` values that are compared and used as keys.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    )* };
}

/// Derives for records that are cloned and compared as a whole.
#[macro_export]
macro_rules! record {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, PartialEq)]
        $item
    )* };
}

/// Derives for records serialized as JSON; unknown fields are refused.
#[macro_export]
macro_rules! json_record {
    ($($item:item)*) => { $(
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item
    )* };
}

/// Implements serde for a type through its `Display` and `FromStr`.
#[macro_export]
macro_rules! text_serde {
    ($name:ident, $expected:expr) => {
        impl ::serde::Serialize for $name {
            fn serialize<S: ::serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> ::serde::Deserialize<'de> for $name {
            fn deserialize<D: ::serde::Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct TextVisitor;
                impl ::serde::de::Visitor<'_> for TextVisitor {
                    type Value = $name;
                    fn expecting(&self, out: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                        out.write_str($expected)
                    }
                    fn visit_str<E: ::serde::de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(|_| {
                            E::invalid_value(::serde::de::Unexpected::Str(text), &self)
                        })
                    }
                }
                input.deserialize_str(TextVisitor)
            }
        }
    };
}

/// Defines a name: 1 to 64 lower-case letters, digits, `.`, `_` and `-`, shared between clones.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                out.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::macros::ParseError;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if $crate::ids::is_name(text) {
                    return Ok(Self(text.into()));
                }
                Err($crate::macros::ParseError::Expected(
                    text.to_owned(),
                    $crate::ids::NAME_EXPECTED,
                ))
            }
        }

        $crate::text_serde!($name, $crate::ids::NAME_EXPECTED);
    };
}

/// Defines a counter: an ordered unsigned number.
macro_rules! counter {
    ($(#[$meta:meta])* $name:ident) => {
        $crate::value! {
            $(#[$meta])*
            #[derive(Default, serde::Serialize, serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name(pub u64);
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(out)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::macros::ParseError;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| {
                    $crate::macros::ParseError::Expected(text.to_owned(), "a whole number")
                })
            }
        }
    };
}

pub(crate) use {counter, name};
