use crate::plan::Version;
use crate::sheet::example;
use crate::sheet::{Sheet, parse};

fn rewritten(sheet: &Sheet) -> Sheet {
    parse(sheet.to_csv().as_bytes()).expect("canonical text is a valid sheet")
}

cases! {
    farm_is_written_as_it_was_read:
        assert_eq!(example::farm().to_csv(), example::FARM);
    society_is_written_as_it_was_read:
        assert_eq!(example::society().to_csv(), example::SOCIETY);
    rewritten_sheet_is_the_same:
        assert_eq!(rewritten(&example::farm()), example::farm());
    each_example_has_three_regions_and_six_zones:
        for sheet in [example::farm(), example::society()] {
            let plan = sheet.plan(Version(1));
            assert_eq!((plan.regions.len(), plan.zones.len()), (3, 6));
            assert!(plan.services.iter().all(|service| service.slots == 9));
        };
}
