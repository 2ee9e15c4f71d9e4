use std::time::Duration;

use super::News;
use crate::clock::Time;
use crate::gate::Sign;

const RECHECK: Duration = Duration::from_mins(2);

fn heard(signs: &[Sign]) -> Vec<Option<Sign>> {
    let mut news = News::default();
    let times = (0..).map(|tick| Time::from_millis(500 * tick));
    let pairs = times.zip(signs);
    pairs
        .map(|(now, &sign)| news.of(now, sign, RECHECK))
        .collect()
}

cases! {
    steady_good_word_is_news_once:
        assert_eq!(heard(&[Sign::Serving; 3]), [Some(Sign::Serving), None, None]);
    steady_bad_word_is_always_news:
        assert_eq!(heard(&[Sign::Draining; 2]), [Some(Sign::Draining); 2]);
    return_to_service_is_news:
        assert_eq!(
            heard(&[Sign::Serving, Sign::Draining, Sign::Serving]),
            [Some(Sign::Serving), Some(Sign::Draining), Some(Sign::Serving)],
        );
    good_word_counts_again_after_a_while: {
        let mut news = News::default();
        news.of(Time::ZERO, Sign::Serving, RECHECK);
        assert_eq!(news.of(Time::ZERO + RECHECK, Sign::Serving, RECHECK), Some(Sign::Serving));
    };
}
