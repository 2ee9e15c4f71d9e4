use super::{Fit, Point, Usage};

fn points(values: &[f64]) -> Vec<Point> {
    let sizes = [1.0, 2.0, 4.0, 8.0];
    let pairs = sizes.iter().zip(values);
    pairs.map(|(&size, &value)| Point { size, value }).collect()
}

cases! {
    line_through_exact_points_is_found: {
        let fit = Fit::of(&points(&[5.0, 7.0, 11.0, 19.0])).expect("sizes differ");
        assert!((fit.slope - 2.0).abs() < 1e-9);
        assert!((fit.base - 3.0).abs() < 1e-9);
        assert!((fit.r2 - 1.0).abs() < 1e-9);
        assert!((fit.at(850.0) - 1_703.0).abs() < 1e-6);
    };
    one_size_has_no_slope:
        assert_eq!(Fit::of(&points(&[5.0])), None);
    usage_of_this_process_is_read: {
        let usage = Usage::of_process(std::process::id()).expect("this process runs");
        assert!(usage.resident_bytes > 0);
    };
    thread_that_does_not_exist_is_an_error:
        assert!(Usage::of_thread(std::process::id(), "no such thread").is_err());
}
