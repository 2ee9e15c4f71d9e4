use log::{Level, Record};
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

use super::{Encoder, Identity};
use crate::plan::Version;
use crate::settings::LogFormat;

fn encoded(format: LogFormat, message: &str) -> String {
    let identity = Identity::new("odber-1", "morava-a");
    identity.set_plan(Version(7));
    let encoder = Encoder { identity, format };
    let mut writer = SimpleWriter(Vec::new());
    encoder
        .encode(
            &mut writer,
            &Record::builder()
                .level(Level::Warn)
                .target("monsooncove::gate::life")
                .args(format_args!("{message}"))
                .build(),
        )
        .expect("a vector takes every line");
    mask_time(&String::from_utf8(writer.0).expect("lines are UTF-8"))
}

/// Replaces the time of a line, which is 24 characters long.
fn mask_time(line: &str) -> String {
    let start = line.find("20").expect("a line has a time");
    format!("{}TIME{}", &line[..start], &line[start + 24..])
}

cases! {
    text_line_names_instance_zone_and_plan:
        assert_eq!(
            encoded(LogFormat::Text, "backend server cold"),
            "TIME WARN  instance=odber-1 zone=morava-a plan=7 gate: backend server cold\n",
        );
    json_line_is_one_object:
        assert_eq!(
            encoded(LogFormat::Json, "backend server \"cold\""),
            "{\"time\":\"TIME\",\"level\":\"WARN\",\"instance\":\"odber-1\",\"zone\":\"morava-a\",\
             \"plan\":7,\"part\":\"gate\",\"message\":\"backend server \\\"cold\\\"\"}\n",
        );
    message_with_line_breaks_stays_one_line:
        assert_eq!(encoded(LogFormat::Text, "a\nb\r\nc").lines().count(), 1);
}
