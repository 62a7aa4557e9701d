#include <carawayloft/service/route_table.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

static bool isValid(const configuration_fields &fields)
{
    return !failed(service_configuration::create(fields));
}

TEST(ServiceConfiguration, AcceptsValidFields)
{
    EXPECT_TRUE(isValid(makeFields()));
}

TEST(ServiceConfiguration, RefusesARouteToAnUndeclaredService)
{
    configuration_fields fields = makeFields();
    fields.routes[0].targets = {{service_id("nobody"), 1}};
    EXPECT_FALSE(isValid(fields));
}

TEST(ServiceConfiguration, RefusesTwoRoutesWithTheSameHostAndPrefix)
{
    configuration_fields fields = makeFields();
    fields.routes[1].pathPrefix = fields.routes[0].pathPrefix;
    EXPECT_FALSE(isValid(fields));
}

TEST(ServiceConfiguration, RefusesARouteWhoseWeightsSumToZero)
{
    configuration_fields fields = makeFields();
    fields.routes[0].targets = {{engineService, 0}, {plainService, 0}};
    EXPECT_FALSE(isValid(fields));
}

TEST(ServiceConfiguration, RefusesAnEngineWithoutModelsWhichWouldEndControl)
{
    configuration_fields fields = makeFields();
    fields.services.front().engine->models.clear();
    EXPECT_TRUE(failed(service_configuration::create(std::move(fields))));
}

TEST(ServiceConfiguration, RefusesARouteWithoutTimeLimit)
{
    configuration_fields fields = makeFields();
    fields.routes[2].timeLimit = duration(0);
    EXPECT_FALSE(isValid(fields));
}

// Guards against a mistyped priority that silently puts a route or an account behind all others.
TEST(ServiceConfiguration, RefusesAPriorityAboveTheGreatestAndNamesTheField)
{
    configuration_fields fields = makeFields();
    fields.routes[1].priority = maxPriority;
    fields.accounts.front().priority = maxPriority;
    EXPECT_TRUE(isValid(fields));
    fields.routes[1].priority = maxPriority + 1;
    const auto badRoute = service_configuration::create(fields);
    ASSERT_TRUE(failed(badRoute));
    EXPECT_NE(errorOf(badRoute).what.find("routes.priority of 'sign'"), std::string::npos) << errorOf(badRoute).what;
    fields.routes[1].priority = 0;
    fields.accounts.front().priority = maxPriority + 1;
    const auto badAccount = service_configuration::create(fields);
    ASSERT_TRUE(failed(badAccount));
    EXPECT_NE(errorOf(badAccount).what.find("tenants.priority of 'firm'"), std::string::npos) << errorOf(badAccount).what;
}

TEST(ServiceConfiguration, RefusesAPrefixWithoutATrailingSlash)
{
    configuration_fields fields = makeFields();
    fields.routes[2].pathPrefix = "/records";
    EXPECT_FALSE(isValid(fields));
}

TEST(ServiceConfiguration, RefusesAKeySharedByTwoAccounts)
{
    configuration_fields fields = makeFields();
    fields.accounts.push_back({client_account_id("other"), {knownKey}, std::nullopt});
    EXPECT_FALSE(isValid(fields));
}

static route_table makeTable(configuration_fields fields)
{
    return route_table(std::make_shared<const service_configuration>(std::get<service_configuration>(service_configuration::create(std::move(fields)))));
}

TEST(RouteTable, ChoosesTheLongestPrefixOfTheHost)
{
    configuration_fields fields = makeFields();
    service_route longer = fields.routes[0];
    longer.name = "longer";
    longer.pathPrefix = "/draft/deep/";
    service_route elsewhere = longer;
    elsewhere.name = "elsewhere";
    elsewhere.host = "other.example";
    elsewhere.pathPrefix = "/";
    fields.routes.push_back(longer);
    fields.routes.push_back(elsewhere);
    const route_table table = makeTable(fields);
    EXPECT_EQ(table.find("ledger.example", "/draft/x")->name, "draft");
    EXPECT_EQ(table.find("ledger.example", "/draft/deep/x/y")->name, "longer");
    EXPECT_EQ(table.find("ledger.example", "/draft/deep")->name, "draft");
    EXPECT_EQ(table.find("ledger.example", "/draft"), nullptr);
    EXPECT_EQ(table.find("other.example", "/anything")->name, "elsewhere");
    EXPECT_EQ(table.find("nobody.example", "/draft/x"), nullptr);
}

TEST(RouteTable, FindsTheAccountOfAKey)
{
    const route_table table = makeTable(makeFields());
    EXPECT_EQ(table.account(knownKey)->account, client_account_id("firm"));
    EXPECT_EQ(table.account(access_key("unknown")), nullptr);
}
