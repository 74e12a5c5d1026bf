//! Parsed arguments of a command.

use std::str::FromStr;

use crate::report::ToolError;

/// Positional arguments, flags and options of one command.
#[derive(Debug)]
pub(crate) struct CommandArguments {
    pub(crate) positional: Vec<String>,
    pub(crate) flags: Vec<String>,
    pub(crate) options: Vec<(String, String)>,
}

impl CommandArguments {
    pub(crate) fn has_flag(&self, name: &str) -> bool {
        self.flags.iter().any(|flag| flag == name)
    }

    /// Returns the value of an option. The last one wins if the option is repeated.
    pub(crate) fn option(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .options
            .iter()
            .rev()
            .find(|(option, _)| option == name)?;
        Some(value)
    }

    /// Parses the value of the option `name`, `None` if the option is not given.
    pub(crate) fn parse_option<T: FromStr>(&self, name: &str) -> Result<Option<T>, ToolError>
    where
        T::Err: ToString,
    {
        let Some(text) = self.option(name) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(error) => Err(ToolError::finding(format!("--{name}"), error.to_string())),
        }
    }

    /// Parses the positional argument at `index`; `name` is its name in findings.
    ///
    /// # Panics
    ///
    /// Panics if there is no argument at `index`.
    pub(crate) fn parse_positional<T: FromStr>(
        &self,
        index: usize,
        name: &str,
    ) -> Result<T, ToolError>
    where
        T::Err: ToString,
    {
        self.positional[index]
            .parse()
            .map_err(|error: T::Err| ToolError::finding(name, error.to_string()))
    }
}
