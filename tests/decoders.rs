//! Fuzzes every decoder of external input: no input makes it panic, and whatever it accepts
//! survives a round trip through its text form.

use zinniastack::contract;
use zinniastack::fence;
use zinniastack::names;
use zinniastack::peer;
use zinniastack::platform;

fn expect_round_trip<T: std::str::FromStr + std::fmt::Display>() {
    bolero::check!().with_type::<String>().for_each(|text| {
        if let Ok(value) = text.parse::<T>() {
            let written = value.to_string();
            let again = written.parse::<T>().map(|value| value.to_string());
            assert_eq!(again.ok(), Some(written));
        }
    });
}

fn expect_no_panic<T: serde::de::DeserializeOwned>() {
    bolero::check!().for_each(|bytes| {
        let _ = serde_json::from_slice::<T>(bytes);
    });
}

macro_rules! decoder_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            $check;
        }
    )*};
}

decoder_cases! {
    term: expect_round_trip::<fence::TermId>();
    grant_fence: expect_round_trip::<fence::GrantFence>();
    shard: expect_round_trip::<names::ShardId>();
    label: expect_round_trip::<names::ServerName>();
    token: expect_round_trip::<names::RequestId>();
    claim: expect_no_panic::<contract::ClaimOrder>();
    claim_reply: expect_no_panic::<contract::ClaimReply>();
    lease: expect_no_panic::<contract::LeaseOrder>();
    lease_reply: expect_no_panic::<contract::LeaseReply>();
    question: expect_no_panic::<peer::ExchangeRequest>();
    answer: expect_no_panic::<peer::ExchangeReply>();
    log_page: expect_no_panic::<platform::LogPage>();
    listing: expect_no_panic::<platform::HostListing>();
}
